#pragma once

// Public header of the discovery package: discovers targets and routes through the platform's store, with the views of
// other balancers as a fallback while the store does not respond.

#include <anvilwalk/discovery/EvacuationFeed.h>
#include <anvilwalk/discovery/HttpGetClient.h>
#include <anvilwalk/discovery/HttpPeerReader.h>
#include <anvilwalk/discovery/PeerViewFeed.h>
#include <anvilwalk/discovery/RelayFeed.h>
#include <anvilwalk/discovery/RetryBackoff.h>
#include <anvilwalk/discovery/StoreFeed.h>
#include <anvilwalk/discovery/StoreReader.h>
#include <anvilwalk/discovery/ViewSnapshot.h>
#include <anvilwalk/discovery/WherePath.h>
