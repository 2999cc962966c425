#include "laburnum/wire/suspicion.hpp"

#include <algorithm>

namespace laburnum::wire {
namespace {

Duration
elapsedAt(const std::vector<std::int64_t>& aTimes, std::size_t aIndex)
{
  return aIndex < aTimes.size()
           ? Duration(std::max<std::int64_t>(0, aTimes[aIndex]))
           : Duration(0);
}

} // namespace

SuspectsT
encodeSuspicions(const std::vector<policy::SuspicionRecord>& aRecords)
{
  SuspectsT message;
  for (const policy::SuspicionRecord& record : aRecords) {
    message.fingerprints.push_back(record.fingerprint);
    message.crashes.push_back(record.crashes);
    message.remaining_us.push_back(record.remaining.count());
    message.specificities.push_back(record.specificity);
    message.served.push_back(record.wasServed);
    message.had_begun.push_back(record.hadBegun);
    message.since_first_crash_us.push_back(record.sinceFirstCrash.count());
    message.since_last_crash_us.push_back(record.sinceLastCrash.count());
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
    // Daemons of earlier versions do not send the fields that follow.
    if (i < aMessage.specificities.size()) {
      record.specificity = aMessage.specificities[i];
    }
    if (i < aMessage.served.size()) {
      record.wasServed = aMessage.served[i];
    }
    if (i < aMessage.had_begun.size()) {
      record.hadBegun = aMessage.had_begun[i];
    }
    record.sinceFirstCrash = elapsedAt(aMessage.since_first_crash_us, i);
    record.sinceLastCrash = elapsedAt(aMessage.since_last_crash_us, i);
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
