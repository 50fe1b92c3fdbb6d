package org.granitepath.coordination.autoscaling;

/** A planned launch of machines of one offer. */
record PlannedLaunch(Offer offer, int count) {
    /** Returns this launch with additional machines. */
    PlannedLaunch plus(int additional) {
        return new PlannedLaunch(offer, count + additional);
    }

    /**
     * Returns whether this launch is to be carried out before another: launches for live services precede those for
     * other work; otherwise the launch of more machines precedes the other.
     */
    boolean hasPriorityOver(PlannedLaunch other) {
        boolean live = offer.job().isLiveService();
        boolean otherLive = other.offer.job().isLiveService();
        return live == otherLive ? count > other.count : live;
    }
}
