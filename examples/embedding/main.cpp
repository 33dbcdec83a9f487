// Embeds the admission queue: two slots, an urgent and a relaxed rank, time by hand.
#include "qz_admission/qz_admission.h"
#include "qz_core/time/manualclock.h"

#include <iostream>

int main()
{
    using namespace std::chrono_literals;
    qz::ManualClock clock;
    qz::AdmissionQueue::Builder builder;
    builder.setSlots(2);
    builder.setRanks({ { 0.6, 200ms, 10.0 }, { 0.2, 2s, 1.0 } });
    auto queue = builder.build();
    for (std::uint64_t id = 1; id <= 4; ++id) {
        qz::AdmissionRequest ticket;
        ticket.id_ = id;
        ticket.rank_ = id % 2;
        ticket.kind_ = "view";
        ticket.deadline_ = clock.now() + 1s;
        const auto offered = queue.offer(ticket, clock.now());
        if (offered.has_error()) {
            std::cout << id << " refused: " << qz::toString(offered.error().kind_) << "\n";
        }
    }
    while (const auto ticket = queue.startNext(clock.now())) {
        std::cout << "started " << ticket->id_ << " of rank " << ticket->rank_ << "\n";
    }
    return queue.running() == 2 ? 0 : 1;
}
