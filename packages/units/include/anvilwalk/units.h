#pragma once

// Public header of the units package: strong types, results, findings in input files, hashing and clocks.

#include <anvilwalk/units/Clock.h>
#include <anvilwalk/units/Findings.h>
#include <anvilwalk/units/Hash.h>
#include <anvilwalk/units/Ids.h>
#include <anvilwalk/units/Ipv4Endpoint.h>
#include <anvilwalk/units/PercentEncoding.h>
#include <anvilwalk/units/Result.h>
#include <anvilwalk/units/StoreEra.h>
#include <anvilwalk/units/StrongId.h>
