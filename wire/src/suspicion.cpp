#include "laburnum/wire/suspicion.hpp"

#include <algorithm>

namespace laburnum::wire {

SuspectsT
encodeSuspicions(const std::vector<policy::SuspicionRecord>& aRecords)
{
  SuspectsT message;
  for (const policy::SuspicionRecord& record : aRecords) {
    message.fingerprints.push_back(record.fingerprint);
    message.crashes.push_back(record.crashes);
    message.remaining_us.push_back(record.remaining.count());
    message.specificities.push_back(record.specificity);
    message.crash_id_counts.push_back(
      static_cast<std::uint8_t>(record.crashIds.size()));
    message.crash_ids.insert(
      message.crash_ids.end(), record.crashIds.begin(), record.crashIds.end());
  }
  return message;
}

std::vector<policy::SuspicionRecord>
mergeSuspicions(policy::Quarantine& aQuarantine,
                const SuspectsT& aMessage,
                Instant aNow)
{
  std::vector<policy::SuspicionRecord> records;
  const std::size_t count = std::min({ aMessage.fingerprints.size(),
                                       aMessage.crashes.size(),
                                       aMessage.remaining_us.size() });
  std::size_t firstCrash = 0;
  for (std::size_t i = 0; i < count; ++i) {
    policy::SuspicionRecord record{ .fingerprint = aMessage.fingerprints[i],
                                    .crashes = aMessage.crashes[i],
                                    .remaining =
                                      Duration(aMessage.remaining_us[i]) };
    if (i < aMessage.specificities.size()) {
      record.specificity = aMessage.specificities[i];
    }
    // Daemons of an earlier version do not send crashes.
    const std::size_t lastCrash =
      std::min(firstCrash + (i < aMessage.crash_id_counts.size()
                               ? aMessage.crash_id_counts[i]
                               : 0U),
               aMessage.crash_ids.size());
    for (; firstCrash < lastCrash; ++firstCrash) {
      record.crashIds.push_back(aMessage.crash_ids[firstCrash]);
    }
    records.push_back(std::move(record));
  }
  return aQuarantine.merge(records, aNow);
}

} // namespace laburnum::wire
