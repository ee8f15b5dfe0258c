#pragma once

// The placement package, on which this one depends, compares eras too.
#include <anvilwalk/units/StoreEra.h>
