#pragma once

// Public header of the process package: what lives as long as the process.

#include <anvilwalk/process/CellController.h>
#include <anvilwalk/process/ObjectStore.h>
#include <anvilwalk/process/PacketRouter.h>
#include <anvilwalk/process/RoutingState.h>
