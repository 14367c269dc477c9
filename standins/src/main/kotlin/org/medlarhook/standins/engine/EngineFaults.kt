package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/**
 * Faults of the engine stand-in. `POST /faults` replaces them as a whole.
 *
 * @property crash halts the process at once.
 * @property hang accepts requests without ever answering them, and suspends the running streams.
 * @property refuse answers each generation request with status 503.
 * @property slowFactor factor by which each step takes longer.
 * @property cutAfterTokens number of tokens after which each stream ends without its end line; 0 means never.
 * @property crossLines inserts lines of other attempts into each stream.
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
