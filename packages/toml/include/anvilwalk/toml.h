#pragma once

// Public header of the toml package: reads and validates values of TOML files.

#include <anvilwalk/toml/Duration.h>
#include <anvilwalk/toml/TomlTableReader.h>
