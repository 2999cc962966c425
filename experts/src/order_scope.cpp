#include "laburnum/experts/order_scope.hpp"

namespace laburnum::experts {

bool
OrderScope::covers(const Formation& aOrdered) const
{
  const bool isOfGroup = aOrdered.group.empty() || !mRules.comparesGroups ||
                         aOrdered.group == mFormation.group;
  return isOfGroup && aOrdered.epoch == mFormation.epoch;
}

} // namespace laburnum::experts
