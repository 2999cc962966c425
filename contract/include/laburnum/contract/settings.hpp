#pragma once

#include "laburnum/kernel/log.hpp"
#include "laburnum/kernel/result.hpp"
#include "laburnum/kernel/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnum::contract {

enum class Role : std::uint8_t
{
  Entry,   ///< Meets callers, sends through agents.
  Agent,   ///< Stands beside a backend server and runs its requests.
  Gateway, ///< Meets callers by routes, sends straight to backend servers.
  Steward  ///< Stands beside a rank of a group and keeps its expert map.
};

inline constexpr EnumNames<Role, 4> kRoleNames{ { { Role::Entry, "entry" },
                                                  { Role::Agent, "agent" },
                                                  { Role::Gateway, "gateway" },
                                                  { Role::Steward,
                                                    "steward" } } };

enum class ServerKind : std::uint8_t
{
  Engine, ///< A model engine.
  Plain   ///< A plain HTTP service.
};

inline constexpr EnumNames<ServerKind, 2> kServerKindNames{
  { { ServerKind::Engine, "engine" }, { ServerKind::Plain, "plain" } }
};

/// An IP address and port.
struct Address
{
  std::string host = "127.0.0.1";
  std::uint16_t port = 0; ///< 0 picks a free port when listening.

  std::string text() const { return host + ":" + std::to_string(port); }
  auto operator<=>(const Address&) const = default;
};

/// Parses "a.b.c.d:port" or "[v6]:port". Pre: none. Thread safety: any thread.
Result<Address>
parseAddress(std::string_view aText);

/// Certificate and key files; empty paths mean plain TCP.
struct TlsSettings
{
  std::string certificate;
  std::string key;
};

/// Bounds of one daemon.
struct Limits
{
  std::size_t headerBytes = 16 * 1024;
  std::size_t bodyBytes = 1024 * 1024;
  /// All that the process holds for callers: requests and unread responses.
  /// A gateway takes it from its memory instead.
  std::size_t clientBytes = 64UL * 1024 * 1024;
  /// Entry: answers that are not complete.
  std::size_t answerBytes = 32UL * 1024 * 1024;
  Duration readTimeout = seconds(10);
  Duration defaultDeadline = seconds(60);
  std::size_t attempts = 100000;          ///< Rows of an agent's attempt table.
  std::size_t queue = 1000;               ///< Waiting requests of an agent.
  std::size_t streamBytes = 256 * 1024;   ///< Unacknowledged bytes of a stream.
  Duration forgetInstance = seconds(600); ///< Dead so long, its object goes.
  Duration drainGrace = seconds(2);       ///< Accepting on after not ready.
};

/// The backend server beside an agent.
struct ServerSettings
{
  ServerKind kind = ServerKind::Plain;
  Address address;
  std::vector<std::string> offers; ///< Models "name@version", or services.
  int slots = 8;                   ///< Requests that run at once.

  /// The offers with what they are, "model/NAME@VERSION" or "service/NAME",
  /// so that a model and a service may have the same name. Pre: none.
  std::vector<std::string> qualifiedOffers() const;
};

/// Bounds of a gateway that its deployment sets.
struct GatewaySettings
{
  double retryRatio = 0.2; ///< Repeats, as a share of requests.
  double retrySlack = 0;   ///< Repeats beyond it, of all entries together.
  Duration retryWindow = seconds(10);
  /// What the slack is divided by: gateways that may run at once, with those
  /// that took another's place within a window.
  /// Used only while no steward tells how many there are.
  int entries = 128;
  Duration stopGrace = seconds(8); ///< From the signal to the forced end.
  /// Port on which the stewards beside the engines listen; 0: there are none.
  std::uint16_t stewardPort = 0;
  double memoryMb = 256; ///< Of the instance; an eighth may hold responses.
  /// Interval of the heartbeats of servers. The source of the server list
  /// removes an entry after three of them without one.
  Duration heartbeat = milliseconds(1200);
  /// Time within which an evacuation of a failure domain has to be in force; 0:
  /// operators do not evacuate any.
  Duration evacuationBound{ 0 };
};

/// Bounds of a steward that its deployment sets.
struct StewardSettings
{
  double linkMbps = 6; ///< Rate of the instance's link, in Mbit/s.
};

/// One daemon's settings file.
struct Settings
{
  std::string instance;
  Role role = Role::Entry;
  std::string failureDomain;
  std::string region = "default";
  Address callers;
  Address operators;
  Address control;
  TlsSettings tls;
  std::string controlKey; ///< Shared by all daemons; empty: no proof asked.
  std::vector<Address> platform;
  std::vector<Address> peers;
  Limits limits;
  LogLevel logLevel = LogLevel::Info;
  ServerSettings server;
  GatewaySettings gateway;
  StewardSettings steward;
};

/// Value of one field, from elsewhere than the settings file.
struct SettingOverride
{
  std::string_view section; ///< Object that has the field.
  std::string_view field;
  std::string text; ///< A number; empty: the field is left as it is.
};

/// Parses a settings file's text; the failure lists every fault. Overrides go
/// before the fields of the text; one whose section is not in the text is
/// ignored.
/// Pre: none. Thread safety: any thread.
Result<Settings>
parseSettings(std::string_view aText,
              const std::vector<SettingOverride>& aOverrides = {});

} // namespace laburnum::contract
