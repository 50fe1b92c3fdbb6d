package org.granitepath.coordination.autoscaling;

/** How many machines of an offer to launch. */
record PlannedLaunch(Offer offer, int count) {
    /** The same with so many machines more. */
    PlannedLaunch plus(int more) {
        return new PlannedLaunch(offer, count + more);
    }

    /** Whether it goes before another: live services before other work, then most of a kind. */
    boolean goesBefore(PlannedLaunch other) {
        boolean live = offer.job().isLiveService();
        boolean otherLive = other.offer.job().isLiveService();
        return live == otherLive ? count > other.count : live;
    }
}
