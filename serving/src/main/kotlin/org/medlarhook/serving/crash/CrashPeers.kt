package org.medlarhook.serving.crash

/** The other serving processes, as far as they are told of what crashes upstreams. */
internal interface CrashPeers {
    /** Tells all of them [report]. */
    fun tell(report: CrashReport)

    /** Tells a few of them, chosen at random, [report]. */
    fun tellSome(report: CrashReport)
}

/** Stands for the other processes where there are none. */
internal object NoCrashPeers : CrashPeers {
    override fun tell(report: CrashReport) = Unit

    override fun tellSome(report: CrashReport) = Unit
}
