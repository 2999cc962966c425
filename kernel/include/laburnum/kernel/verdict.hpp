#pragma once

#include "laburnum/kernel/enum_names.hpp"

#include <cstdint>

namespace laburnum {

/// Says whether a request may have run on a backend server.
enum class Verdict : std::uint8_t
{
  NotRun,     ///< No backend server has seen or will see the request.
  MayHaveRun, ///< The outcome is not known.
  Ran         ///< A backend server ran the request.
};

inline constexpr EnumNames<Verdict, 3> kVerdictNames{
  { { Verdict::NotRun, "not_run" },
    { Verdict::MayHaveRun, "may_have_run" },
    { Verdict::Ran, "ran" } }
};

/// The spelling of a verdict in headers, bodies and logs.
/// Pre: none. Thread safety: any thread.
constexpr std::string_view
name(Verdict aVerdict)
{
  return nameIn(kVerdictNames, aVerdict);
}

} // namespace laburnum
