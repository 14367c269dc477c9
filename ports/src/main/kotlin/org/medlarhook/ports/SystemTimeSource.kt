package org.medlarhook.ports

/** The clocks of the operating system. */
public object SystemTimeSource : TimeSource {
    private const val NANOS_PER_MS = 1_000_000L

    override fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

    override fun wallMs(): Long = System.currentTimeMillis()
}
