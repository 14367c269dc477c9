package org.medlarhook.serving.duty

import org.medlarhook.core.serving.limit.ProcessShare
import org.medlarhook.core.serving.usage.UsageWindows
import org.medlarhook.core.serving.usage.WindowCounts

/** The request path as the usage reporter sees it: what it has counted, and what it learns of the other processes. */
internal interface RequestUsage {
    /** Returns the requests that were counted so far, or null if the request path does not answer in time. */
    fun read(): UsageWindows?

    /** Applies [change] to the usage windows, unless the request path does not answer in time. */
    fun update(change: (UsageWindows) -> UsageWindows)

    /** Tells that the monotonic clock has not counted a suspension, as the store's clock shows. */
    fun onSuspended() = Unit

    /** Returns the address on which other processes reach this one, or null if it has none. */
    fun peerAddress(): String?

    /** Tells which processes have published [counts] of the window before, and the place of this one among them. */
    fun onProcessesRead(counts: WindowCounts, share: ProcessShare?)
}
