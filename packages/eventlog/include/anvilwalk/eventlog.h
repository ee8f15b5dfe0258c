#pragma once

// Public header of the eventlog package: structured log lines within a fixed budget.

#include <anvilwalk/eventlog/EventLog.h>
#include <anvilwalk/eventlog/LineWriter.h>
#include <anvilwalk/eventlog/LogStory.h>
