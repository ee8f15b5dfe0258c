#pragma once

// Public header of the placement package: target selection for new flows, and stateless forwarding of open flows by
// the token that every packet carries.

#include <anvilwalk/placement/AdmissionController.h>
#include <anvilwalk/placement/FlowTracker.h>
#include <anvilwalk/placement/PlacementExplanation.h>
#include <anvilwalk/placement/PlacementObserver.h>
#include <anvilwalk/placement/RouteTable.h>
#include <anvilwalk/placement/SharedTargetLoad.h>
#include <anvilwalk/placement/StoreEra.h>
#include <anvilwalk/placement/Target.h>
#include <anvilwalk/placement/TargetCatalogue.h>
#include <anvilwalk/placement/TargetChooser.h>
#include <anvilwalk/placement/TokenRouter.h>
#include <anvilwalk/placement/WarmUpLimiter.h>
