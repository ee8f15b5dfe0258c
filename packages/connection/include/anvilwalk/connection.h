#pragma once

// Public header of the connection package: flow records, the flow table and admission limits.

#include <anvilwalk/connection/AdmissionLimiter.h>
#include <anvilwalk/connection/FlowRecord.h>
#include <anvilwalk/connection/FlowTable.h>
