#pragma once

#include "laburnum/kernel/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace laburnum::http {

/// What memory is held for, in the order in which it is given up.
enum class HeldFor : std::uint8_t
{
  /// A message of a peer that has not arrived completely.
  UnfinishedMessage,
  /// A response that the peer does not read as fast as it is made.
  UnreadResponse,
  /// A whole request in progress, which is never given up.
  RequestInProgress,
};

/// Memory that one connection or request holds.
struct HeldMemory
{
  std::size_t size = 0; ///< Bytes, by capacity.
  HeldFor heldFor = HeldFor::UnfinishedMessage;
  std::uint64_t peer = 0; ///< Identifies the address of the peer.
  Instant progressAt{};   ///< When bytes were last received or sent.
};

/// Account of the memory that a process holds for its peers. Decides what is
/// given up when the sum exceeds the limit: first messages that are not
/// complete, then responses that are not read, among these the holders of the
/// peer address that holds most, and among those the one with the largest size
/// times the time without progress. A sound peer is short and makes progress,
/// so that it is the last one to be given up. Below the limit nothing is.
///
/// Performs no I/O. Thread safety: loop thread only.
template<class Holder>
class MemoryAccount
{
public:
  /// @param aLimit Sum of all holders, in bytes.
  explicit MemoryAccount(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  /// Records what a holder holds now. Returns the holder that is to be given
  /// up, or null if the sum is within the limit or nothing may be given up. The
  /// caller removes or records that one and asks `excess` again.
  Holder* record(Holder* aHolder, const HeldMemory& aMemory, Instant aNow)
  {
    HeldMemory& memory = mHolders[aHolder];
    mSize += aMemory.size - memory.size;
    memory = aMemory;
    mPeak = std::max(mPeak, mSize);
    return excess(aNow);
  }

  /// Returns the holder that is to be given up, as `record`.
  Holder* excess(Instant aNow) const
  {
    if (mSize <= mLimit) {
      return nullptr;
    }
    Holder* const unfinished = choose(HeldFor::UnfinishedMessage, aNow);
    return unfinished != nullptr ? unfinished
                                 : choose(HeldFor::UnreadResponse, aNow);
  }

  /// Removes a holder, if it is known.
  void remove(Holder* aHolder)
  {
    const auto found = mHolders.find(aHolder);
    if (found != mHolders.end()) {
      mSize -= found->second.size;
      mHolders.erase(found);
    }
  }

  /// Sum of all holders, in bytes.
  std::size_t size() const { return mSize; }
  /// Largest sum so far, in bytes.
  std::size_t peak() const { return mPeak; }
  std::size_t limit() const { return mLimit; }
  /// True if what must not be given up fills the limit by itself.
  bool isExceeded() const { return mSize > mLimit; }

private:
  /// Added to the time without progress, so that the size counts at first.
  static constexpr Duration kMinStall = milliseconds(100);

  Holder* choose(HeldFor aHeldFor, Instant aNow) const
  {
    std::unordered_map<std::uint64_t, std::size_t> sizeByPeer;
    for (const auto& [holder, memory] : mHolders) {
      if (memory.heldFor == aHeldFor) {
        sizeByPeer[memory.peer] += memory.size;
      }
    }
    const auto largest =
      std::max_element(sizeByPeer.begin(),
                       sizeByPeer.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       });
    Holder* chosen = nullptr;
    double highest = 0;
    for (const auto& [holder, memory] : mHolders) {
      if (memory.heldFor != aHeldFor || memory.peer != largest->first) {
        continue;
      }
      const double weight =
        static_cast<double>(memory.size) *
        toSeconds(std::max<Duration>(Duration(0), aNow - memory.progressAt) +
                  kMinStall);
      if (weight > highest) {
        highest = weight;
        chosen = holder;
      }
    }
    return chosen;
  }

  std::size_t mLimit;
  std::size_t mSize = 0;
  std::size_t mPeak = 0;
  std::unordered_map<Holder*, HeldMemory> mHolders;
};

/// What holds memory for a client, and can give it up.
class MemoryHolder
{
public:
  virtual ~MemoryHolder() = default;

  /// Gives up what is held; may do so after the call. It counts no longer until
  /// it is recorded anew.
  virtual void giveUpMemory() = 0;
};

/// The account of a process for its clients.
using ClientMemory = MemoryAccount<MemoryHolder>;

/// Records what a holder holds now, and lets others, or itself, give up memory
/// until the sum is within the limit.
inline void
recordMemory(ClientMemory& aAccount,
             MemoryHolder& aHolder,
             const HeldMemory& aMemory,
             Instant aNow)
{
  if (aMemory.size == 0) {
    aAccount.remove(&aHolder);
    return;
  }
  for (MemoryHolder* holder = aAccount.record(&aHolder, aMemory, aNow);
       holder != nullptr;
       holder = aAccount.excess(aNow)) {
    aAccount.remove(holder);
    holder->giveUpMemory();
  }
}

} // namespace laburnum::http
