// When refused clients come back: a calendar of bins, filled at the rate that the fleet can carry then.
//
// A booking takes the first bin with room and a time in it at random (PCG, seeded), so that a crowd that was
// turned away together does not come back together. A booking reserves a turn, not a worker: a client that
// never comes costs nothing. What a bin may hold follows from a forecast that is asked anew whenever the
// calendar moves on, so that a fleet that dies again shrinks the bins to come; those booked beyond what a bin
// then carries are newcomers when they come.
//
// Clients without a name are known by the moment alone: the times told to them stand in cells of 10 ms, and
// whoever comes takes up the newest one that is due. One that comes at its time finds its own; one that
// comes at random finds what those who never came have left. One that comes early is told a time and gets
// no second cell, so hammering makes no turns.
//
// Memory is fixed by `longest`, `grace` and `bin`. Booking is O(1) on average: the last run of full bins is
// passed over in one step.
#ifndef HERONWAY_LIMITS_RETRY_SCHEDULE_H_
#define HERONWAY_LIMITS_RETRY_SCHEDULE_H_

#include <functional>
#include <pcg_random.hpp>
#include <vector>

#include "src/limits/settings.h"

namespace heronway::limits {

class RetrySchedule {
 public:
  // Jobs, in units of a mean job, that returning clients may bring in a second at a time to come.
  using Forecast = std::function<double(Micros at)>;
  RetrySchedule(const RetryScheduleSettings& settings, std::uint64_t seed, Forecast forecast);

  struct Booking {
    Micros at;
    bool booked;  // false: the calendar is full to its end, and the client comes as a newcomer
  };
  // `least`: not before so long from now. `cost`: of the job, in mean jobs. `anonymous`: the client cannot be
  // known again by a name.
  Booking Book(Micros now, Micros least, double cost, bool anonymous);
  // A client came that was told `at`. Early: it has this long still to wait, else 0.
  Micros EarlyBy(Micros now, Micros at) const;
  // Whether one that came in time goes before newcomers: its bin may have shrunk since.
  bool Claim(Micros now, Micros at, double cost);
  // The same for one that cannot be known by name: whether such a booking is due and not taken up yet.
  bool ClaimAnonymous(Micros now, double cost);
  // Times told to such that are not taken up yet and not past their grace.
  bool AnyAnonymous() const { return anonymous_ > 0; }
  // A wait for such a one that came early: within the times that are told already.
  Micros AnonymousWait(Micros now);
  // The forecast has changed.
  void Renew(Micros now);
  // Jobs booked from now on, in mean jobs.
  double booked(Micros now);

 private:
  struct Bin {
    Micros begin = -1;
    double room = 0, booked = 0, claimed = 0;
  };
  struct Cell {
    Micros number = -1;  // of 10 ms since the clock's beginning
    int many = 0;        // times told to clients without a name
  };
  void Advance(Micros now);
  Bin& At(Micros time) { return bins_[static_cast<std::size_t>(time / settings_.bin) % bins_.size()]; }
  Micros Uniform(Micros below);
  Cell& CellOf(Micros number) { return cells_[static_cast<std::size_t>(number) % cells_.size()]; }
  void Note(Micros at);            // a time told to one without a name
  void ForgetBefore(Micros cell);  // cells whose grace is over

  RetryScheduleSettings settings_;
  pcg32 random_;
  Forecast forecast_;
  std::vector<Bin> bins_;
  std::vector<Cell> cells_;
  int anonymous_ = 0;
  Micros forgotten_ = -1;  // the first cell that is not forgotten
  Micros last_told_ = 0;
  Micros head_ = -1;                    // the bin of the present
  Micros full_from_ = 0, full_to_ = 0;  // the bins from the one to before the other are full
};

}  // namespace heronway::limits

#endif  // HERONWAY_LIMITS_RETRY_SCHEDULE_H_
