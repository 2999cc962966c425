#include "laburnum/wire/message.hpp"

#include <cstring>

namespace laburnum::wire {
namespace {

constexpr flatbuffers::uoffset_t kMaxTables = 100000;
constexpr flatbuffers::uoffset_t kMaxDepth = 8;

Failure
damaged(std::string_view aDetail)
{
  return { .error = Error::DamagedFrame, .detail = std::string(aDetail) };
}

template<class Table>
AnyMessage
unpack(const Frame& aFrame)
{
  typename Table::NativeTableType native;
  static_cast<const Table*>(aFrame.message())->UnPackTo(&native);
  return native;
}

/// The fields that must be present for the receiver to act on a message.
struct IsComplete
{
  bool operator()(const DispatchT& aMessage) const
  {
    return aMessage.attempt != nullptr;
  }
  bool operator()(const PartT& aMessage) const
  {
    return aMessage.attempt != nullptr;
  }
  bool operator()(const FinishedT& aMessage) const
  {
    return aMessage.attempt != nullptr;
  }
  bool operator()(const RejectedT& aMessage) const
  {
    return aMessage.attempt != nullptr && aMessage.verdict <= 2;
  }
  bool operator()(const AskT& aMessage) const
  {
    return aMessage.attempt != nullptr;
  }
  bool operator()(const AskReplyT& aMessage) const
  {
    return aMessage.attempt != nullptr;
  }
  bool operator()(const CancelT& aMessage) const
  {
    return aMessage.attempt != nullptr;
  }
  bool operator()(const AcknowledgeT& aMessage) const
  {
    return aMessage.attempt != nullptr;
  }
  bool operator()(const SuspectsT& aMessage) const
  {
    return aMessage.fingerprints.size() == aMessage.remaining_us.size() &&
           aMessage.fingerprints.size() == aMessage.crashes.size();
  }
  bool operator()(const RelayedOrderT& aMessage) const
  {
    return aMessage.order != nullptr;
  }
  template<class Other>
  bool operator()(const Other&) const
  {
    return true;
  }
};

} // namespace

void
encode(const AnyMessage& aMessage, std::string& aBuffer)
{
  static flatbuffers::FlatBufferBuilder builder(4096);
  builder.Clear();
  std::visit(
    [](const auto& aNative) {
      using Native = std::decay_t<decltype(aNative)>;
      using Table = typename Native::TableType;
      const auto body = Table::Pack(builder, &aNative);
      const auto kind = MessageUnionTraits<Native>::enum_value;
      builder.Finish(CreateFrame(builder, kind, body.Union()));
    },
    aMessage);
  const auto size = static_cast<std::uint32_t>(builder.GetSize());
  char length[kLengthBytes];
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length[i] = static_cast<char>(size >> (8 * i));
  }
  aBuffer.append(length, kLengthBytes);
  aBuffer.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 size);
}

Result<AnyMessage>
decode(std::span<const std::uint8_t> aFrame)
{
  flatbuffers::Verifier verifier(
    aFrame.data(), aFrame.size(), kMaxDepth, kMaxTables);
  if (!verifier.VerifyBuffer<Frame>(nullptr)) {
    return damaged("the frame fails verification");
  }
  const Frame* frame = flatbuffers::GetRoot<Frame>(aFrame.data());
  if (frame->message() == nullptr) {
    return damaged("the frame has no message");
  }
  using Unpacker = AnyMessage (*)(const Frame&);
  static constexpr Unpacker kUnpackers[] = { nullptr,
                                             unpack<Hello>,
                                             unpack<Dispatch>,
                                             unpack<Part>,
                                             unpack<Finished>,
                                             unpack<Rejected>,
                                             unpack<Ask>,
                                             unpack<AskReply>,
                                             unpack<Cancel>,
                                             unpack<Acknowledge>,
                                             unpack<Heartbeat>,
                                             unpack<Objects>,
                                             unpack<Order>,
                                             unpack<Members>,
                                             unpack<Probe>,
                                             unpack<Suspects>,
                                             unpack<OrderReply>,
                                             unpack<BucketAsk>,
                                             unpack<BucketGrant>,
                                             unpack<Digest>,
                                             unpack<RankMessage>,
                                             unpack<PrepareMap>,
                                             unpack<RankReport>,
                                             unpack<RankOrder>,
                                             unpack<GroupStatus>,
                                             unpack<GatewayNews>,
                                             unpack<RelayedOrder>,
                                             unpack<KeeperHint> };
  const auto kind = static_cast<std::size_t>(frame->message_type());
  if (kind == 0 || kind >= std::size(kUnpackers)) {
    return damaged("the message's kind is unknown");
  }
  AnyMessage message = kUnpackers[kind](*frame);
  if (!std::visit(IsComplete{}, message)) {
    return damaged("a field that the message's kind needs is missing");
  }
  return message;
}

} // namespace laburnum::wire
