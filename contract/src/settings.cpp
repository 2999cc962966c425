#include "laburnum/contract/settings.hpp"

#include "laburnum/contract/field_reader.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>

namespace laburnum::contract {
namespace {

constexpr std::int64_t kMaxBytes = 64 * 1024 * 1024;
constexpr std::int64_t kMaxPort = 65535;
constexpr Duration kMaxDuration = std::chrono::hours(24);
/// The shortest window in which repeats can be counted.
constexpr Duration kMinWindow = milliseconds(1);
constexpr Duration kMinHeartbeat = milliseconds(1);
/// Largest ratio, count or rate of a deployment.
constexpr double kMaxNumber = 1e12;
constexpr double kMinMbps = 0.001;
constexpr double kMinMemoryMb = 1;

std::string
readHost(FieldReader& aReader)
{
  std::string host = aReader.requiredText("host");
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);
  if (error && !host.empty()) {
    aReader.fault("host", "found \"" + host + "\", expected an IP address");
  }
  return host;
}

/// Reads "address:port", or an object with `host` and `port`.
Address
readAddress(FieldReader& aReader,
            std::string_view aName,
            const std::string& aDefault)
{
  if (aReader.hasObject(aName)) {
    FieldReader fields = aReader.object(aName);
    Address address{ .host = readHost(fields) };
    address.port =
      static_cast<std::uint16_t>(fields.integer("port", 0, 0, kMaxPort));
    if (!fields.has("port")) {
      fields.fault("port", "missing, expected a port from 0 to 65535");
    }
    aReader.finish(fields);
    return address;
  }
  const std::string text = aReader.text(aName, aDefault);
  if (text.empty()) {
    return {};
  }
  const auto parsed = parseAddress(text);
  if (!parsed) {
    aReader.fault(aName, parsed.failure().detail);
    return {};
  }
  return *parsed;
}

std::vector<Address>
readAddresses(FieldReader& aReader, std::string_view aName)
{
  std::vector<Address> all;
  for (const std::string& text : aReader.texts(aName)) {
    const auto parsed = parseAddress(text);
    if (!parsed) {
      aReader.fault(aName, parsed.failure().detail);
      continue;
    }
    all.push_back(*parsed);
  }
  return all;
}

template<class Enum, std::size_t Size>
Enum
readEnum(FieldReader& aReader,
         std::string_view aName,
         const EnumNames<Enum, Size>& aNames,
         Enum aDefault)
{
  const std::string text =
    aReader.text(aName, std::string(nameIn(aNames, aDefault)));
  const auto value = valueIn(aNames, text);
  if (value) {
    return *value;
  }
  std::string allowed;
  for (const auto& [each, name] : aNames) {
    allowed.append(allowed.empty() ? "" : ", ").append(name);
  }
  aReader.fault(aName, "found \"" + text + "\", expected one of: " + allowed);
  return aDefault;
}

std::size_t
readSize(FieldReader& aReader, std::string_view aName, std::size_t aDefault)
{
  return static_cast<std::size_t>(
    aReader.integer(aName, static_cast<std::int64_t>(aDefault), 1, kMaxBytes));
}

Duration
readMillis(FieldReader& aReader, std::string_view aName, Duration aDefault)
{
  return aReader.duration(
    aName, milliseconds(1), aDefault, Duration(1), kMaxDuration);
}

Limits
readLimits(FieldReader aReader, FieldReader& aParent)
{
  Limits limits;
  limits.headerBytes = readSize(aReader, "header_bytes", limits.headerBytes);
  limits.bodyBytes = readSize(aReader, "body_bytes", limits.bodyBytes);
  limits.clientBytes = readSize(aReader, "client_bytes", limits.clientBytes);
  limits.answerBytes = readSize(aReader, "answer_bytes", limits.answerBytes);
  limits.readTimeout =
    readMillis(aReader, "read_timeout_ms", limits.readTimeout);
  limits.defaultDeadline =
    readMillis(aReader, "default_deadline_ms", limits.defaultDeadline);
  limits.attempts = readSize(aReader, "attempts", limits.attempts);
  limits.queue = readSize(aReader, "queue", limits.queue);
  limits.streamBytes = readSize(aReader, "stream_bytes", limits.streamBytes);
  limits.forgetInstance =
    readMillis(aReader, "forget_instance_ms", limits.forgetInstance);
  limits.drainGrace = readMillis(aReader, "drain_grace_ms", limits.drainGrace);
  aParent.finish(aReader);
  return limits;
}

ServerSettings
readServer(FieldReader aReader, FieldReader& aParent, bool aNeedsOffers)
{
  ServerSettings server;
  server.kind = readEnum(aReader, "kind", kServerKindNames, ServerKind::Plain);
  server.address = readAddress(aReader, "address", "");
  server.offers = aReader.texts("offers");
  server.slots = static_cast<int>(aReader.integer("slots", 8, 1, 100000));
  if (server.address.port == 0) {
    aReader.fault("address",
                  "missing, expected the backend server's address and port");
  }
  if (server.offers.empty() && aNeedsOffers) {
    aReader.fault("offers",
                  "missing or empty, expected at least one model or service");
  }
  aParent.finish(aReader);
  return server;
}

GatewaySettings
readGateway(FieldReader aReader, FieldReader& aParent)
{
  GatewaySettings gateway;
  gateway.retryRatio =
    aReader.number("retry_ratio", gateway.retryRatio, 0, kMaxNumber);
  gateway.retrySlack =
    aReader.number("retry_slack", gateway.retrySlack, 0, kMaxNumber);
  gateway.retryWindow = aReader.duration("retry_window_s",
                                         seconds(1),
                                         gateway.retryWindow,
                                         kMinWindow,
                                         kMaxDuration);
  gateway.entries =
    static_cast<int>(aReader.integer("entries", gateway.entries, 1, 10000));
  gateway.stopGrace = aReader.duration(
    "stop_grace_s", seconds(1), gateway.stopGrace, Duration(0), kMaxDuration);
  gateway.memoryMb =
    aReader.number("memory_mb", gateway.memoryMb, kMinMemoryMb, kMaxNumber);
  gateway.heartbeat = aReader.duration("heartbeat_ms",
                                       milliseconds(1),
                                       gateway.heartbeat,
                                       kMinHeartbeat,
                                       kMaxDuration);
  gateway.evacuationBound = aReader.duration("evacuation_bound_ms",
                                             milliseconds(1),
                                             gateway.evacuationBound,
                                             Duration(0),
                                             kMaxDuration);
  gateway.stewardPort =
    static_cast<std::uint16_t>(aReader.integer("steward_port", 0, 0, kMaxPort));
  aParent.finish(aReader);
  return gateway;
}

StewardSettings
readSteward(FieldReader aReader, FieldReader& aParent)
{
  StewardSettings steward;
  steward.linkMbps =
    aReader.number("link_mbps", steward.linkMbps, kMinMbps, kMaxNumber);
  aParent.finish(aReader);
  return steward;
}

/// Writes the overrides into the document. What is no number stays text, which
/// the field's own check reports.
void
applyOverrides(boost::json::value& aDocument,
               const std::vector<SettingOverride>& aOverrides)
{
  boost::json::object* root = aDocument.if_object();
  for (const SettingOverride& override : aOverrides) {
    boost::json::value* section =
      root == nullptr ? nullptr : root->if_contains(override.section);
    if (override.text.empty() || section == nullptr || !section->is_object()) {
      continue;
    }
    const auto parsed = parseDocument(override.text);
    section->as_object()[override.field] =
      parsed && parsed->is_number()
        ? *parsed
        : boost::json::value(boost::json::string(override.text));
  }
}

} // namespace

std::vector<std::string>
ServerSettings::qualifiedOffers() const
{
  std::vector<std::string> all;
  for (const std::string& offer : offers) {
    all.push_back((kind == ServerKind::Engine ? "model/" : "service/") + offer);
  }
  return all;
}

Result<Address>
parseAddress(std::string_view aText)
{
  const auto fail = [&](std::string_view aWhat) -> Result<Address> {
    return Failure{ .error = Error::InvalidSettings,
                    .detail = "found \"" + std::string(aText) +
                              "\", expected " + std::string(aWhat) };
  };
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return fail("address:port");
  }
  std::string host(aText.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);
  // What follows a zero byte or stands for the zone of an address is not
  // checked there, and would be sent in a header.
  constexpr std::string_view kZoneMarks = ":.%-_";
  const bool isText =
    std::all_of(host.begin(), host.end(), [&](char aCharacter) {
      return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
             kZoneMarks.find(aCharacter) != std::string_view::npos;
    });
  if (error || !isText) {
    return fail("an IP address by number before the port");
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, status] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (status != std::errc() || end != digits.data() + digits.size()) {
    return fail("a port from 0 to 65535");
  }
  return Address{ .host = host, .port = port };
}

Result<Settings>
parseSettings(std::string_view aText,
              const std::vector<SettingOverride>& aOverrides)
{
  auto document = parseDocument(aText);
  if (!document) {
    return Failure{ .error = Error::InvalidSettings,
                    .detail = document.failure().detail };
  }
  applyOverrides(*document, aOverrides);
  FieldReader reader(*document, "");
  Settings settings;
  settings.instance = reader.requiredText("instance");
  settings.role = readEnum(reader, "role", kRoleNames, Role::Entry);
  settings.failureDomain = reader.requiredText("failure_domain");
  settings.region = reader.text("region", settings.region);
  settings.callers = readAddress(reader, "callers", "127.0.0.1:0");
  settings.operators = readAddress(reader, "operators", "127.0.0.1:0");
  settings.control = readAddress(reader, "control", "127.0.0.1:0");
  FieldReader tls = reader.object("tls");
  settings.tls.certificate = tls.text("certificate", "");
  settings.tls.key = tls.text("key", "");
  if (settings.tls.certificate.empty() != settings.tls.key.empty()) {
    tls.fault("key", "certificate and key must be given together");
  }
  reader.finish(tls);
  settings.controlKey = reader.text("control_key", "");
  settings.platform = readAddresses(reader, "platform");
  settings.peers = readAddresses(reader, "peers");
  settings.limits = readLimits(reader.object("limits"), reader);
  settings.logLevel =
    readEnum(reader, "log_level", kLogLevelNames, LogLevel::Info);
  if (settings.role == Role::Agent || settings.role == Role::Steward) {
    settings.server =
      readServer(reader.object("server"), reader, settings.role == Role::Agent);
  } else if (reader.has("server")) {
    reader.object("server");
    reader.fault("server", "belongs to the roles agent and steward only");
  }
  if (settings.role == Role::Gateway) {
    settings.gateway = readGateway(reader.object("gateway"), reader);
  } else if (reader.has("gateway")) {
    reader.object("gateway");
    reader.fault("gateway", "belongs to the role gateway only");
  }
  if (settings.role == Role::Steward) {
    settings.steward = readSteward(reader.object("steward"), reader);
  } else if (reader.has("steward")) {
    reader.object("steward");
    reader.fault("steward", "belongs to the role steward only");
  }
  if (settings.platform.empty() && settings.peers.empty()) {
    reader.fault("platform",
                 "missing, expected at least one address here or in peers");
  }
  std::string faults = reader.faults();
  if (!faults.empty()) {
    return Failure{ .error = Error::InvalidSettings,
                    .detail = std::move(faults) };
  }
  return settings;
}

} // namespace laburnum::contract
