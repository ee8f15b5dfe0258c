#pragma once

// Public header of the eventlog package: structured, rate-limited log lines.

#include <anvilwalk/eventlog/EventLog.h>
#include <anvilwalk/eventlog/LineWriter.h>
#include <anvilwalk/eventlog/LogTrace.h>
