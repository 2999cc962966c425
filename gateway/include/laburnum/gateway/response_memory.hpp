#pragma once

#include <cstddef>
#include <map>

namespace laburnum::gateway {

class RequestForwarder;

/// Bounds the memory of the responses that are kept until they are complete,
/// over all requests of a gateway. Several faulty servers may send responses
/// without end at once; the longest ones are given up, so that the responses of
/// sound servers, which are short, are not affected.
///
/// Performs no I/O. Thread safety: loop thread only.
class ResponseMemory
{
public:
  /// aLimit is the sum of all responses, in bytes.
  explicit ResponseMemory(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  /// Records the size in bytes of the response of a request. Returns the
  /// request with the longest response if the sum is above the limit, which is
  /// to be given up, else null.
  RequestForwarder* record(RequestForwarder* aRequest, std::size_t aSize);

  /// Removes the response of a request, if it has one.
  void remove(RequestForwarder* aRequest);

  /// Sum of the sizes of all responses.
  std::size_t size() const { return mSize; }

private:
  std::size_t mLimit;
  std::size_t mSize = 0;
  std::map<RequestForwarder*, std::size_t> mResponses;
};

} // namespace laburnum::gateway
