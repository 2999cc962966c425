#include "laburnum/agent/agent.hpp"
#include "laburnum/entry/entry.hpp"
#include "laburnum/gateway/gateway.hpp"
#include "laburnum/platform/peer_registry.hpp"
#include "laburnum/platform/users_directory.hpp"
#include "laburnum/platform/users_engine.hpp"
#include "laburnum/platform/users_protocol.hpp"

#include "laburnum/steward/steward.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <malloc.h>
#include <optional>
#include <tclap/CmdLine.h>

using namespace laburnum;

namespace {

/// Size in bytes of blocks that are returned to the system when freed.
constexpr int kMappedBlock = 128 * 1024;

/// Exit codes; docs/OPERATIONS.md lists them.
constexpr int kExitOk = 0;
constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;
constexpr int kExitForced = 4;

/// A setting that may come from the environment. A platform that fills in
/// settings files for deployments of several kinds can leave a variable empty,
/// but not a field.
struct EnvironmentSetting
{
  const char* variable;
  std::string_view section;
  std::string_view field;
};

constexpr EnvironmentSetting kEnvironmentSettings[]{
  { "LABURNUM_GATEWAY_MEMORY_MB", "gateway", "memory_mb" },
  { "LABURNUM_GATEWAY_EVACUATION_BOUND_MS", "gateway", "evacuation_bound_ms" },
  { "LABURNUM_GATEWAY_HEARTBEAT_MS", "gateway", "heartbeat_ms" },
};

std::vector<contract::SettingOverride>
environmentOverrides()
{
  std::vector<contract::SettingOverride> overrides;
  for (const EnvironmentSetting& setting : kEnvironmentSettings) {
    const char* value = std::getenv(setting.variable);
    overrides.push_back({ .section = setting.section,
                          .field = setting.field,
                          .text = value == nullptr ? "" : value });
  }
  return overrides;
}

std::optional<std::string>
readFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// The first signal drains, a second one forces; SIGHUP reloads certificates.
void
handleSignals(Loop& aLoop,
              asio::signal_set& aSignals,
              node::Node& aNode,
              entry::Entry* aEntry)
{
  aSignals.async_wait([&aLoop, &aSignals, &aNode, aEntry](
                        boost::system::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      if (aEntry != nullptr) {
        aEntry->reload();
      }
    } else if (aNode.drain().isReady()) {
      aNode.stopGracefully(aSignal == SIGTERM ? "SIGTERM" : "SIGINT");
    } else {
      log(LogLevel::Warn, "forced_stop");
      aNode.drain().forced();
    }
    handleSignals(aLoop, aSignals, aNode, aEntry);
  });
}

void
handleGatewaySignals(asio::signal_set& aSignals, gateway::Gateway& aGateway)
{
  aSignals.async_wait(
    [&aSignals, &aGateway](boost::system::error_code aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal != SIGHUP) {
        aGateway.stopGracefully();
      }
      handleGatewaySignals(aSignals, aGateway);
    });
}

int
runGateway(const contract::Settings& aSettings)
{
  startLog(aSettings.instance, aSettings.logLevel);
  Loop loop;
  gateway::Gateway gateway(loop, aSettings, platform::users::kHeaders);
  platform::users::ConfigurationWatcher directory(loop, aSettings, gateway);
  platform::users::PeerRegistry peers(
    loop, aSettings, gateway.context().permits);
  asio::signal_set signals(loop.context(), SIGTERM, SIGINT, SIGHUP);
  try {
    gateway.start();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cannot start: %s\n", error.what());
    return kExitStart;
  }
  directory.onStoreRestored([&peers] { peers.refresh(); });
  directory.start();
  peers.start();
  handleGatewaySignals(signals, gateway);
  loop.run();
  std::fflush(nullptr);
  std::_Exit(kExitOk);
}

int
runSteward(const contract::Settings& aSettings)
{
  startLog(aSettings.instance, aSettings.logLevel);
  Loop loop;
  platform::users::EngineClient engine(loop, aSettings.server.address);
  steward::Steward steward(
    loop, aSettings, engine, [&loop](const contract::Address& aAddress) {
      return std::make_unique<platform::users::EngineClient>(loop, aAddress);
    });
  platform::users::EngineWatcher directory(loop, aSettings, steward);
  asio::signal_set signals(loop.context(), SIGTERM, SIGINT);
  // Its settings hold nothing that changes while it runs.
  std::signal(SIGHUP, SIG_IGN);
  try {
    steward.start();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cannot start: %s\n", error.what());
    return kExitStart;
  }
  directory.start();
  signals.async_wait([&steward](boost::system::error_code aError, int) {
    if (!aError) {
      steward.stop();
    }
  });
  loop.run();
  std::fflush(nullptr);
  std::_Exit(kExitOk);
}

int
runDaemon(contract::Settings aSettings)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (aSettings.role == contract::Role::Gateway) {
    return runGateway(aSettings);
  }
  if (aSettings.role == contract::Role::Steward) {
    return runSteward(aSettings);
  }
  startLog(aSettings.instance, aSettings.logLevel);
  Loop loop;
  const contract::Role role = aSettings.role;
  node::Node node(loop, std::move(aSettings));
  std::optional<entry::Entry> entry;
  std::optional<agent::Agent> agent;
  asio::signal_set signals(loop.context(), SIGTERM, SIGINT, SIGHUP);
  try {
    if (role == contract::Role::Entry) {
      const auto started = entry.emplace(node).start();
      if (!started) {
        std::fprintf(stderr, "%s\n", started.failure().detail.c_str());
        return kExitSettings;
      }
    } else {
      agent.emplace(node).start();
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cannot start: %s\n", error.what());
    return kExitStart;
  }
  handleSignals(loop, signals, node, entry ? &*entry : nullptr);
  loop.run();
  // Sockets and coroutines of a stopped loop go with the process.
  std::fflush(nullptr);
  std::_Exit(node.drain().state() == node::DrainState::Stopped ? kExitOk
                                                               : kExitForced);
}

} // namespace

int
main(int argc, char** argv)
{
  // The C library would raise the size from which blocks are mapped, and keep
  // the memory of long bodies and answers when they are gone.
  mallopt(M_MMAP_THRESHOLD, kMappedBlock);
  TCLAP::CmdLine command("laburnumd, the daemon of laburnumbank", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> file("s",
                                    "settings",
                                    "settings file, JSON with comments",
                                    true,
                                    "",
                                    "file",
                                    command);
  TCLAP::ValueArg<std::string> level(
    "", "log-level", "debug, info, warn or error", false, "", "level", command);
  TCLAP::ValueArg<std::string> instance(
    "", "instance", "name of this instance", false, "", "name", command);
  TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
  command.parse(argc, argv);
  const auto text = readFile(file.getValue());
  if (!text) {
    std::fprintf(stderr, "%s: cannot be read\n", file.getValue().c_str());
    return kExitSettings;
  }
  auto settings = contract::parseSettings(*text, environmentOverrides());
  if (!settings) {
    std::fprintf(stderr,
                 "%s:\n%s\n",
                 file.getValue().c_str(),
                 settings.failure().detail.c_str());
    return kExitSettings;
  }
  if (!instance.getValue().empty()) {
    settings->instance = instance.getValue();
  }
  if (!level.getValue().empty()) {
    const auto value = valueIn(kLogLevelNames, level.getValue());
    if (!value) {
      std::fprintf(
        stderr,
        "--log-level: found \"%s\", expected debug, info, warn or error\n",
        level.getValue().c_str());
      return kExitSettings;
    }
    settings->logLevel = *value;
  }
  if (check.getValue()) {
    std::printf("%s: good\n", file.getValue().c_str());
    return kExitOk;
  }
  return runDaemon(std::move(*settings));
}
