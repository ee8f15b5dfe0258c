#pragma once

// Public header of the discovery package: how a balancer learns its targets and routes from the platform's store.

#include <anvilwalk/discovery/StoreFeed.h>
#include <anvilwalk/discovery/StoreReader.h>
