package org.medlarhook.core.serving.fair

/** At which services admission is fair by workspace. */
public enum class FairAdmissionMode {
    ON,
    OFF,

    /** At those whose upstreams say that they share their machines with others. */
    AUTO,
}
