#include "laburnum/ctl/commands.hpp"

#include "laburnum/contract/settings.hpp"
#include "laburnum/ctl/change.hpp"
#include "laburnum/ctl/json_diff.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

namespace laburnum::ctl {
namespace {

namespace json = boost::json;

constexpr std::string_view kVersionField = "$version";

constexpr std::string_view kUsage =
  "usage: laburnumctl [--platform IP:PORT] [--output json|table] COMMAND\n"
  "  KIND validate FILE | apply FILE | get NAME | list | diff FILE | delete "
  "NAME | history NAME\n"
  "       KIND is contract, service, model or policy; FILE may be - for "
  "standard input\n"
  "  settings validate FILE\n"
  "  status\n"
  "  rollout KIND NAME [--wait]\n"
  "  audit\n"
  "  drain INSTANCE\n";

Result<std::string>
readInput(const std::string& aPath)
{
  if (aPath == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(aPath);
  if (!file) {
    return Failure{ .error = Error::InvalidObject,
                    .detail = aPath + ": cannot be read" };
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// An object as an operator wrote it.
struct Document
{
  std::string name;
  json::value value;
  std::optional<std::uint64_t> version;
};

Failure
in(const std::string& aFile, Failure aFailure)
{
  aFailure.detail = aFile + ":\n" + aFailure.detail;
  return aFailure;
}

Result<Document>
readDocument(const std::string& aKind, const std::string& aFile)
{
  const auto text = readInput(aFile);
  if (!text) {
    return text.failure();
  }
  auto value = contract::parseDocument(*text);
  if (!value) {
    return in(aFile, value.failure());
  }
  Document document{ .value = std::move(*value) };
  if (document.value.is_object()) {
    json::object& fields = document.value.as_object();
    if (const json::value* version = fields.if_contains(kVersionField)) {
      json::error_code error;
      document.version =
        version->is_number() ? version->to_number<std::uint64_t>(error) : 0;
      if (error || !version->is_number()) {
        return in(
          aFile,
          { .error = Error::InvalidObject,
            .detail =
              "$version: expected the version that was edited, a number" });
      }
      fields.erase(kVersionField);
    }
    const std::string_view nameField = aKind == "contract" ? "account" : "name";
    if (const json::value* name = fields.if_contains(nameField);
        name && name->is_string()) {
      document.name = std::string(name->as_string());
    }
    if (aKind == "policy") {
      document.name = "policy";
    }
  }
  const auto valid =
    contract::validateObject(aKind, document.name, document.value);
  if (!valid) {
    return in(aFile, valid.failure());
  }
  return document;
}

Result<std::optional<std::uint64_t>>
baseOf(const Options& aOptions, const std::optional<std::uint64_t>& aFromFile)
{
  if (aOptions.base.empty()) {
    return aFromFile;
  }
  std::uint64_t version = 0;
  const char* end = aOptions.base.data() + aOptions.base.size();
  if (std::from_chars(aOptions.base.data(), end, version).ptr != end) {
    return Failure{ .error = Error::InvalidObject,
                    .detail = "--base: expected a version number" };
  }
  return std::optional(version);
}

std::string
pretty(const json::value& aValue)
{
  return json::serialize(aValue) + "\n";
}

asio::awaitable<CommandResult>
apply(Loop& aLoop, coordination::ObjectClient& aClient, const Options& aOptions)
{
  const std::string kind = aOptions.words[0];
  const auto document = readDocument(kind, aOptions.words[2]);
  if (!document) {
    co_return failed(document.failure());
  }
  const auto base = baseOf(aOptions, document->version);
  if (!base) {
    co_return failed(base.failure());
  }
  Change change{ .kind = kind,
                 .name = document->name,
                 .value = document->value,
                 .base = *base,
                 .who = aOptions.who };
  const auto result = co_await makeChange(aLoop, aClient, std::move(change));
  if (!result) {
    co_return failed(result.failure());
  }
  const std::string key = kind + "/" + document->name;
  if (aOptions.json) {
    co_return CommandResult{ .output = pretty(json::object{
                               { "object", key },
                               { "version", result->version },
                               { "unchanged", result->unchanged } }) };
  }
  co_return CommandResult{
    .output =
      key +
      (result->unchanged ? " unchanged at version " : " accepted as version ") +
      std::to_string(result->version) + "\n" + result->diff
  };
}

asio::awaitable<CommandResult>
remove(Loop& aLoop,
       coordination::ObjectClient& aClient,
       const Options& aOptions)
{
  const std::string& kind = aOptions.words[0];
  const std::string& name = aOptions.words[2];
  auto base = baseOf(aOptions, std::nullopt);
  if (!base) {
    co_return failed(base.failure());
  }
  if (!*base) {
    const auto present = co_await aClient.read(kind, name);
    if (!present) {
      co_return failed(present.failure());
    }
    *base = present->version;
  }
  Change change{
    .kind = kind, .name = name, .base = *base, .who = aOptions.who
  };
  const auto result = co_await makeChange(aLoop, aClient, std::move(change));
  if (!result) {
    co_return failed(result.failure());
  }
  co_return CommandResult{ .output = kind + "/" + name + " deleted\n" };
}

asio::awaitable<CommandResult>
get(coordination::ObjectClient& aClient, const Options& aOptions)
{
  const auto object =
    co_await aClient.read(aOptions.words[0], aOptions.words[2]);
  if (!object) {
    co_return failed(object.failure());
  }
  json::object shown;
  shown[kVersionField] = object->version;
  const json::value value = json::parse(object->value);
  for (const auto& field : value.as_object()) {
    shown[field.key()] = field.value();
  }
  co_return CommandResult{ .output = pretty(shown) };
}

asio::awaitable<CommandResult>
list(coordination::ObjectClient& aClient, const Options& aOptions)
{
  const auto all = co_await aClient.list(aOptions.words[0]);
  if (!all) {
    co_return failed(all.failure());
  }
  json::array items;
  std::vector<std::vector<std::string>> rows;
  for (const contract::Object& object : all->objects) {
    items.push_back(coordination::toJson(object));
    rows.push_back(
      { object.name, std::to_string(object.version), object.value });
  }
  co_return CommandResult{ .output =
                             aOptions.json
                               ? pretty(items)
                               : table({ "NAME", "VERSION", "VALUE" }, rows) };
}

asio::awaitable<CommandResult>
showDiff(coordination::ObjectClient& aClient, const Options& aOptions)
{
  const auto document = readDocument(aOptions.words[0], aOptions.words[2]);
  if (!document) {
    co_return failed(document.failure());
  }
  const auto present = co_await aClient.read(aOptions.words[0], document->name);
  if (!present && present.failure().error != Error::ObjectNotFound) {
    co_return failed(present.failure());
  }
  const json::value before =
    present ? json::parse(present->value) : json::value(nullptr);
  co_return CommandResult{ .output = print(diff(before, document->value)) };
}

asio::awaitable<CommandResult>
audit(coordination::ObjectClient& aClient,
      const Options& aOptions,
      std::string_view aKind,
      std::string_view aName)
{
  const auto records = co_await aClient.list("audit");
  if (!records) {
    co_return failed(records.failure());
  }
  json::array items;
  std::vector<std::vector<std::string>> rows;
  for (const contract::Object& object : records->objects) {
    const json::value record = json::parse(object.value);
    const auto text = [&](std::string_view aField) {
      const json::value* found = record.as_object().if_contains(aField);
      if (found == nullptr) {
        return std::string("-");
      }
      return found->is_string() ? std::string(found->as_string())
                                : json::serialize(*found);
    };
    if ((!aKind.empty() && text("kind") != aKind) ||
        (!aName.empty() && text("name") != aName)) {
      continue;
    }
    items.push_back(record);
    rows.push_back({ text("when_ms"),
                     text("who"),
                     text("kind") + "/" + text("name"),
                     text("from"),
                     text("to"),
                     text("state") });
  }
  co_return CommandResult{
    .output =
      aOptions.json
        ? pretty(items)
        : table({ "WHEN_MS", "WHO", "OBJECT", "FROM", "TO", "STATE" }, rows)
  };
}

CommandResult
validate(const Options& aOptions)
{
  const std::string& file = aOptions.words[2];
  if (aOptions.words[0] == "settings") {
    const auto text = readInput(file);
    if (!text) {
      return failed(text.failure());
    }
    const auto settings = contract::parseSettings(*text);
    return settings ? CommandResult{ .output = file + ": good\n" }
                    : failed(in(file, settings.failure()));
  }
  const auto document = readDocument(aOptions.words[0], file);
  return document ? CommandResult{ .output = file + ": good\n" }
                  : failed(document.failure());
}

CommandResult
usage()
{
  return { .code = ExitCode::Usage, .error = std::string(kUsage) };
}

} // namespace

asio::awaitable<CommandResult>
runCommand(Loop& aLoop, Options aOptions)
{
  const auto& words = aOptions.words;
  if (words.empty()) {
    co_return usage();
  }
  const bool isKind = isOperatorKind(words[0]);
  if (words.size() == 3 && words[1] == "validate" &&
      (isKind || words[0] == "settings")) {
    co_return validate(aOptions);
  }
  if (aOptions.platform.empty()) {
    co_return CommandResult{ .code = ExitCode::Usage,
                             .error =
                               "--platform: missing, expected IP:PORT\n" };
  }
  coordination::ObjectClient client(aLoop, aOptions.platform);
  if (words[0] == "status" && words.size() == 1) {
    co_return co_await showStatus(aLoop, client, aOptions);
  }
  if (words[0] == "audit" && words.size() == 1) {
    co_return co_await audit(client, aOptions, {}, {});
  }
  if (words[0] == "rollout" && words.size() == 3) {
    co_return co_await waitForRollout(aLoop, client, aOptions);
  }
  if (words[0] == "drain" && words.size() == 2) {
    co_return co_await drainInstance(aLoop, client, aOptions);
  }
  if (!isKind || words.size() < 2) {
    co_return usage();
  }
  if (words[1] == "list" && words.size() == 2) {
    co_return co_await list(client, aOptions);
  }
  if (words.size() != 3) {
    co_return usage();
  }
  if (words[1] == "apply") {
    co_return co_await apply(aLoop, client, aOptions);
  }
  if (words[1] == "get") {
    co_return co_await get(client, aOptions);
  }
  if (words[1] == "diff") {
    co_return co_await showDiff(client, aOptions);
  }
  if (words[1] == "delete") {
    co_return co_await remove(aLoop, client, aOptions);
  }
  if (words[1] == "history") {
    co_return co_await audit(client, aOptions, words[0], words[2]);
  }
  co_return usage();
}

} // namespace laburnum::ctl
