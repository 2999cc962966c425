#pragma once

#include "laburnum/http/memory_account.hpp"

#include <cstddef>

namespace laburnum::gateway {

class RequestForwarder;

/// Bounds the memory of the responses that are kept until they are complete,
/// over all requests of a gateway, by an account of its own: what clients take
/// does not count here. Several faulty servers may send responses
/// without end at once; the longest ones are given up, so that the responses of
/// sound servers, which are short, are not affected.
///
/// Performs no I/O. Thread safety: loop thread only.
class ResponseMemory
{
public:
  /// aLimit is the sum of all responses, in bytes.
  explicit ResponseMemory(std::size_t aLimit)
    : mAccount(aLimit)
  {
  }

  /// Records the size in bytes of the response of a request. Returns the
  /// request with the longest response if the sum is above the limit, which is
  /// to be given up, else null.
  RequestForwarder* record(RequestForwarder* aRequest, std::size_t aSize)
  {
    // Without the time of progress, only the size counts.
    return mAccount.record(aRequest, { .size = aSize }, Instant{});
  }

  /// Removes the response of a request, if it has one.
  void remove(RequestForwarder* aRequest) { mAccount.remove(aRequest); }

  /// Sum of the sizes of all responses.
  std::size_t size() const { return mAccount.size(); }

private:
  http::MemoryAccount<RequestForwarder> mAccount;
};

} // namespace laburnum::gateway
