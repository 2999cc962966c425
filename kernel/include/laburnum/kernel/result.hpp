#pragma once

#include "laburnum/kernel/error.hpp"

#include <utility>
#include <variant>

namespace laburnum {

/// A value, or the failure that took its place.
/// Thread safety: as that of `T`.
template<class T>
class [[nodiscard]] Result
{
public:
  Result(T aValue)
    : mState(std::in_place_index<0>, std::move(aValue))
  {
  }

  Result(Failure aFailure)
    : mState(std::in_place_index<1>, std::move(aFailure))
  {
  }

  /// True when a value is held. Pre: none.
  explicit operator bool() const { return mState.index() == 0; }

  /// The value. Pre: a value is held.
  T& operator*() { return std::get<0>(mState); }
  const T& operator*() const { return std::get<0>(mState); }
  T* operator->() { return &std::get<0>(mState); }
  const T* operator->() const { return &std::get<0>(mState); }

  /// The failure. Pre: no value is held.
  const Failure& failure() const { return std::get<1>(mState); }

private:
  std::variant<T, Failure> mState;
};

} // namespace laburnum
