package org.medlarhook.harness.capacity

/**
 * What one process has used since its start, and holds now.
 *
 * @property cpuMs processor time, user and system.
 * @property residentKb resident memory.
 * @property heapKb live heap after a full collection.
 * @property controlBytes bytes of control calls, sent and received.
 * @property controlMessages messages of control calls, sent and received.
 */
internal data class ProcessSample(
    val cpuMs: Double,
    val residentKb: Double,
    val heapKb: Double,
    val controlBytes: Double,
    val controlMessages: Double,
)
