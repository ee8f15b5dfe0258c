#pragma once

// Public header of the connection package: what lives for one flow.

#include <anvilwalk/connection/AdmissionLimiter.h>
#include <anvilwalk/connection/FlowRecord.h>
#include <anvilwalk/connection/FlowTable.h>
