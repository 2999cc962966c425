#include "laburnum/node/duty.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace laburnum::node {
namespace {

namespace json = boost::json;

constexpr char kKind[] = "lease";

std::uint64_t
numberIn(const json::object& aObject, std::string_view aField)
{
  const json::value* found = aObject.if_contains(aField);
  json::error_code error;
  return found == nullptr ? 0 : found->to_number<std::uint64_t>(error);
}

/// A record that can't be read counts as one that nobody holds.
coordination::LeaseRecord
parseRecord(const std::string& aText)
{
  json::error_code error;
  const json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return {};
  }
  const json::object& fields = value.as_object();
  const json::value* holder = fields.if_contains("holder");
  return { .holder = holder != nullptr && holder->is_string()
                       ? std::string(holder->as_string())
                       : "",
           .nonce = numberIn(fields, "nonce"),
           .fence = numberIn(fields, "fence") };
}

std::string
textOf(const coordination::LeaseRecord& aRecord)
{
  return json::serialize(json::object{ { "holder", aRecord.holder },
                                       { "nonce", aRecord.nonce },
                                       { "fence", aRecord.fence } });
}

/// The present fencing number of a duty as the platform holds it; 0 if nobody
/// has held it yet.
asio::awaitable<Result<std::uint64_t>>
readFence(coordination::ObjectClient& aClient, const std::string& aDuty)
{
  const auto object = co_await aClient.read(kKind, aDuty);
  if (object) {
    co_return parseRecord(object->value).fence;
  }
  if (object.failure().error == Error::ObjectNotFound) {
    co_return std::uint64_t{ 0 };
  }
  co_return object.failure();
}

} // namespace

Duty::Duty(Loop& aLoop,
           coordination::ObjectClient& aClient,
           std::string aName,
           std::string aSelf,
           coordination::LeaseOptions aOptions)
  : mLoop(aLoop)
  , mClient(aClient)
  , mName(std::move(aName))
  , mLease(std::move(aSelf), aOptions)
{
}

void
Duty::tick()
{
  for (const auto& action : mLease.tick(mLoop.now(), entropySeed())) {
    if (const auto* write = std::get_if<coordination::WriteLease>(&action)) {
      mLoop.spawn(this->write(*write));
    } else {
      mLoop.spawn(read());
    }
  }
}

asio::awaitable<void>
Duty::read()
{
  const auto object = co_await mClient.read(kKind, mName);
  if (object) {
    mLease.onRead(object->version, parseRecord(object->value), mLoop.now());
  } else if (object.failure().error == Error::ObjectNotFound) {
    mLease.onRead(0, {}, mLoop.now());
  } else {
    mLease.onFailed();
  }
}

asio::awaitable<void>
Duty::write(coordination::WriteLease aWrite)
{
  const Instant sentAt = mLoop.now();
  contract::Object object{ .kind = kKind, .name = mName };
  object.value = textOf(aWrite.record);
  const auto outcome =
    co_await mClient.write(std::move(object), aWrite.expectedVersion);
  if (const auto* written = std::get_if<coordination::Written>(&outcome)) {
    mLease.onWritten(written->version, sentAt, mLoop.now());
  } else if (const auto* other =
               std::get_if<coordination::WriteConflict>(&outcome)) {
    const bool present = other->present.has_value();
    mLease.onConflict(present ? other->present->version : 0,
                      present ? parseRecord(other->present->value)
                              : coordination::LeaseRecord{},
                      mLoop.now());
  } else {
    mLease.onFailed();
  }
}

asio::awaitable<Error>
admitOrder(experts::OrderGate& aGate,
           coordination::ObjectClient& aClient,
           std::string aDuty,
           std::uint64_t aFence)
{
  auto answer = aGate.admit(aDuty, aFence);
  if (answer == experts::GateDecision::Unknown) {
    const auto fence = co_await readFence(aClient, aDuty);
    if (!fence) {
      co_return Error::PlatformUnavailable;
    }
    aGate.observe(aDuty, *fence);
    answer = aGate.admit(aDuty, aFence);
  }
  co_return answer == experts::GateDecision::Admit ? Error::None
                                                   : Error::OldOrder;
}

} // namespace laburnum::node
