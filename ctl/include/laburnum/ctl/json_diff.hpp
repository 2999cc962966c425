#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace laburnum::ctl {

/// One field that differs; an empty side means that the field is absent.
struct FieldChange
{
  std::string path;
  std::string before;
  std::string after;
};

/// The fields in which two documents differ, by path in order.
/// Pre: none. Thread safety: any thread. Complexity: linear.
std::vector<FieldChange>
diff(const boost::json::value& aBefore, const boost::json::value& aAfter);

/// One line a change. Pre: none. Thread safety: any thread.
std::string
print(const std::vector<FieldChange>& aChanges);

} // namespace laburnum::ctl
