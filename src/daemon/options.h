// The daemon's options, read from the command line, the environment and the settings file.
#pragma once

#include "agent/agentservice.h"
#include "base/log.h"
#include "base/settings.h"
#include "entry/entryservice.h"
#include "experts/expertagent.h"
#include "gateway/gatewayservice.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace seamarch {

// The role to run with its settings, and the options common to all roles. Exactly one of the four
// roles is set; if `faults` is not empty, its settings must not be used.
struct DaemonOptions
{
    std::optional<EntrySettings> entry;
    std::optional<AgentSettings> agent;
    std::optional<GatewaySettings> gateway;
    std::optional<ExpertAgentSettings> expertAgent;
    std::string settingsFile;           // Empty if there is none.
    std::vector<std::string> arguments; // Kept to reread the settings.
    LogLevel logLevel = LogLevel::Info;
    bool checkOnly = false; // --check-settings: print the settings and exit.
    std::vector<SettingFault> faults;
    std::map<std::string, std::string> values; // All settings in force, by name.
};

// Reads the options from `arguments`, which exclude the program name. Exits the process after
// printing the help or version text if requested, and on arguments that do not match the usage.
DaemonOptions readDaemonOptions(const std::vector<std::string> &arguments);

} // namespace seamarch
