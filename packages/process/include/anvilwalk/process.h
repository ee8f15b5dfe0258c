#pragma once

// Public header of the process package: what lives as long as the process.

#include <anvilwalk/process/CellController.h>
#include <anvilwalk/process/DataCentreStatus.h>
#include <anvilwalk/process/ObjectCodec.h>
#include <anvilwalk/process/ObjectStore.h>
#include <anvilwalk/process/PacketRouter.h>
#include <anvilwalk/process/Publisher.h>
#include <anvilwalk/process/ReportFigures.h>
#include <anvilwalk/process/ReportLayout.h>
#include <anvilwalk/process/RetryPolicy.h>
#include <anvilwalk/process/RoutingState.h>
#include <anvilwalk/process/StoreFollower.h>
