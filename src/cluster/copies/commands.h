// heronway copies list|show|restore.
#ifndef HERONWAY_CLUSTER_COPIES_COMMANDS_H_
#define HERONWAY_CLUSTER_COPIES_COMMANDS_H_

#include <string>

namespace heronway::cluster::copies {

// Each gives the exit status; throws std::runtime_error, or durable::StoreError, with one line.
int ListCopies(const std::string& console, bool json);
int ShowCopies(const std::string& folder);
// An operator's explicit step: a store with what this one copy has. What the copy lacks is lost with it, so
// the copy with the newest last entry is to be taken.
int RestoreCopy(const std::string& folder, const std::string& group, const std::string& to);

}  // namespace heronway::cluster::copies

#endif  // HERONWAY_CLUSTER_COPIES_COMMANDS_H_
