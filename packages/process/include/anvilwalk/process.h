#pragma once

// Public header of the process package: what lives as long as the process.

#include <anvilwalk/process/CellController.h>
#include <anvilwalk/process/CellTestSwitches.h>
#include <anvilwalk/process/DataCentreStatus.h>
#include <anvilwalk/process/DoubtAgreement.h>
#include <anvilwalk/process/EchoGate.h>
#include <anvilwalk/process/FlowRecordCodec.h>
#include <anvilwalk/process/JoinProgress.h>
#include <anvilwalk/process/Log.h>
#include <anvilwalk/process/Membership.h>
#include <anvilwalk/process/Metrics.h>
#include <anvilwalk/process/ObjectCodec.h>
#include <anvilwalk/process/ObjectStore.h>
#include <anvilwalk/process/PacketRouter.h>
#include <anvilwalk/process/PauseDetector.h>
#include <anvilwalk/process/PeerTransport.h>
#include <anvilwalk/process/RecordExchange.h>
#include <anvilwalk/process/RelayCodec.h>
#include <anvilwalk/process/ResetBuilder.h>
#include <anvilwalk/process/Publisher.h>
#include <anvilwalk/process/ReportFigures.h>
#include <anvilwalk/process/ReportLayout.h>
#include <anvilwalk/process/RetryPolicy.h>
#include <anvilwalk/process/RouterCounters.h>
#include <anvilwalk/process/RoutingState.h>
#include <anvilwalk/process/Settings.h>
#include <anvilwalk/process/SlotClearance.h>
#include <anvilwalk/process/SlotRouter.h>
#include <anvilwalk/process/StatusSummary.h>
#include <anvilwalk/process/StoreFollower.h>
#include <anvilwalk/process/TableHistory.h>
#include <anvilwalk/process/TableWriter.h>
#include <anvilwalk/process/TargetDirectory.h>
#include <anvilwalk/process/TargetMonitor.h>
#include <anvilwalk/process/TargetReportCodec.h>
