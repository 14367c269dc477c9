package org.medlarhook.entry.call

import org.medlarhook.entry.directory.DirectoryView

/** Checks the key of an open request again, at most once per [intervalMs]. */
internal class KeyCheck(
    private val directory: DirectoryView,
    private val info: RequestInfo,
    private val intervalMs: Long,
) {
    private var checkedAtMs = info.startedAtMs

    /** Returns false if the check finds the key withdrawn; true if no check is due at [nowMs]. */
    fun stillAllowed(nowMs: Long): Boolean {
        val key = info.presentedKey ?: return true
        if (nowMs - checkedAtMs < intervalMs) return true
        checkedAtMs = nowMs
        return directory.stillAllowed(key, nowMs)
    }
}
