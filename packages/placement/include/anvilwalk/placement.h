#pragma once

// Public header of the placement package: which target a flow goes to, where every packet carries the flow's token.

#include <anvilwalk/placement/FlowTracker.h>
#include <anvilwalk/placement/PlacementObserver.h>
#include <anvilwalk/placement/RouteTable.h>
#include <anvilwalk/placement/Target.h>
#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/placement/TargetChooser.h>
#include <anvilwalk/placement/TokenRouter.h>
