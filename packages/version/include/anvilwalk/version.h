#pragma once

// Public header of the version package: what lives for one version of configuration or slot tables.

#include <anvilwalk/version/ConfigCodec.h>
#include <anvilwalk/version/ConfigSnapshot.h>
#include <anvilwalk/version/DoubtFallback.h>
#include <anvilwalk/version/PublishPlan.h>
#include <anvilwalk/version/ServiceConfig.h>
#include <anvilwalk/version/ServiceFile.h>
#include <anvilwalk/version/TablePlanner.h>
#include <anvilwalk/version/TableSnapshot.h>
