#pragma once

// Public header of the discovery package: how a balancer learns its targets and routes from the platform's store, and
// from other balancers while the store does not answer.

#include <anvilwalk/discovery/HttpGetClient.h>
#include <anvilwalk/discovery/HttpPeerReader.h>
#include <anvilwalk/discovery/PeerViewFeed.h>
#include <anvilwalk/discovery/StoreFeed.h>
#include <anvilwalk/discovery/StoreReader.h>
#include <anvilwalk/discovery/ViewSnapshot.h>
