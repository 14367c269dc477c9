package org.medlarhook.entry.call

import org.medlarhook.entry.directory.DirectoryView

/** Checks again, about every [intervalMs], whether the key of an open request still stands. */
internal class KeyCheck(
    private val directory: DirectoryView,
    private val info: RequestInfo,
    private val intervalMs: Long,
) {
    private var checkedAtMs = info.startedAtMs

    /** False once the key is withdrawn. */
    fun stillAllowed(nowMs: Long): Boolean {
        val key = info.presentedKey ?: return true
        if (nowMs - checkedAtMs < intervalMs) return true
        checkedAtMs = nowMs
        return directory.stillAllowed(key, nowMs)
    }
}
