#pragma once

// Public header of the membership package: which balancers of a data centre are running, and which of them relay the
// store's changes to the others.

#include <anvilwalk/membership/Member.h>
#include <anvilwalk/membership/MemberList.h>
#include <anvilwalk/membership/MemberMessage.h>
#include <anvilwalk/membership/MemberProtocol.h>
#include <anvilwalk/membership/Membership.h>
