#pragma once

// Public header of the toml package: reading checked values from TOML files.

#include <anvilwalk/toml/Duration.h>
#include <anvilwalk/toml/TomlTableReader.h>
