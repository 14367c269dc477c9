package org.medlarhook.core.serving.allowance

/**
 * The platform's tolerance for the use of an allowance, in the allowance's units.
 *
 * @property slack the units beyond an allowance that are tolerated in a window, over all processes.
 */
public data class AllowanceBounds(
    val slack: Double = 0.0,
)
