#pragma once

// Public header of the load package: the balancers of a data centre share what each sees of each target.

#include <anvilwalk/load/LoadCollector.h>
#include <anvilwalk/load/LoadExchange.h>
#include <anvilwalk/load/LoadMessage.h>
#include <anvilwalk/load/LoadSampler.h>
#include <anvilwalk/load/SharedLoad.h>
