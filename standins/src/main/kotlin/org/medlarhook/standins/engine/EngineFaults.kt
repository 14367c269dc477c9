package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/**
 * Faults of the engine, replaced as a whole by `POST /faults`.
 *
 * @property crash ends the process at once.
 * @property hang accepts and never answers, and freezes the streams that run.
 * @property refuse answers each generation with 503.
 * @property slowFactor by which each step is lengthened.
 * @property cutAfterTokens ends each stream without its end mark after so many tokens; 0 means never.
 * @property crossLines repeats lines of other attempts within each stream.
 */
@Serializable
internal data class EngineFaults(
    val crash: Boolean = false,
    val hang: Boolean = false,
    val refuse: Boolean = false,
    val slowFactor: Double = 1.0,
    val cutAfterTokens: Int = 0,
    val crossLines: Boolean = false,
)
