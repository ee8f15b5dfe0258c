#pragma once

// Public header of the request package: what lives for one packet.

#include <anvilwalk/request/Decision.h>
#include <anvilwalk/request/DropReason.h>
#include <anvilwalk/request/FlowKey.h>
#include <anvilwalk/request/PacketRouter.h>
#include <anvilwalk/request/PacketView.h>
