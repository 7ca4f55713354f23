// The sub-commands heronway copies list, show and restore.
#ifndef HERONWAY_CLUSTER_COPIES_COMMANDS_H_
#define HERONWAY_CLUSTER_COPIES_COMMANDS_H_

#include <string>

namespace heronway::cluster::copies {

// Each returns the exit status. Throws std::runtime_error or durable::StoreError with a message of one line.
// Prints the groups of a running scheduler, as its console at the address `console` reports them.
int ListCopies(const std::string& console, bool json);
// Prints the groups that are stored in `folder`, whether or not a scheduler is running.
int ShowCopies(const std::string& folder);
// Writes a store file `to` from one replica of `group` in `folder`. Entries that this replica lacks are lost,
// so the operator has to choose the replica with the newest last entry.
int RestoreCopy(const std::string& folder, const std::string& group, const std::string& to);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_COMMANDS_H_
