#pragma once

#include "laburnum/kernel/result.hpp"
#include "laburnum/wire/generated/frames_generated.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace laburnum::wire {

/// Version of the protocol; peers with another one are refused.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// Longest frame that is accepted, in bytes.
inline constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;
/// Limit of a frame before the greeting is complete, which anybody may send.
inline constexpr std::size_t kMaxGreetingBytes = 16 * 1024;

/// Bytes of the length before each frame.
inline constexpr std::size_t kLengthBytes = 4;

/// Every message between laburnum's own processes.
using AnyMessage = std::variant<HelloT,
                                DispatchT,
                                PartT,
                                FinishedT,
                                RejectedT,
                                AskT,
                                AskReplyT,
                                CancelT,
                                AcknowledgeT,
                                HeartbeatT,
                                ObjectsT,
                                OrderT,
                                MembersT,
                                ProbeT,
                                SuspectsT,
                                OrderReplyT,
                                BucketAskT,
                                BucketGrantT,
                                DigestT,
                                RankMessageT,
                                PrepareMapT,
                                RankReportT,
                                RankOrderT,
                                GroupStatusT,
                                GatewayNewsT,
                                RelayedOrderT,
                                KeeperHintT>;

/// In the loads of a GroupStatus: a rank whose load is not known, and the
/// largest load that can be told.
inline constexpr std::uint8_t kUnknownRankLoad = 255;
inline constexpr std::uint8_t kMaxRankLoad = 254;

/// Appends the length and the frame of a message.
/// Pre: the message is shorter than kMaxFrameBytes. Thread safety: one thread
/// a buffer.
void
encode(const AnyMessage& aMessage, std::string& aBuffer);

/// Verifies and decodes one frame without its length. Fails with DamagedFrame.
/// Pre: none. Thread safety: any thread.
Result<AnyMessage>
decode(std::span<const std::uint8_t> aFrame);

} // namespace laburnum::wire
