package org.medlarhook.core.order

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.medlarhook.core.role.UpstreamRole

/** What an order tells an engine to do. Doing it twice is the same as doing it once. */
@Serializable
public sealed interface OrderAction {
    /** Loads [model] at [version], replacing another version of it. */
    @Serializable
    @SerialName("load-model")
    public data class LoadModel(
        val model: String,
        val version: String,
    ) : OrderAction

    /** Loads [adapter] of [model] at [version]. */
    @Serializable
    @SerialName("load-adapter")
    public data class LoadAdapter(
        val model: String,
        val adapter: String,
        val version: String,
    ) : OrderAction

    /** Removes [model] and its adapters from the engine. */
    @Serializable
    @SerialName("unload-model")
    public data class UnloadModel(
        val model: String,
    ) : OrderAction

    /** Changes the kind of work that the engine takes. */
    @Serializable
    @SerialName("set-role")
    public data class SetRole(
        val role: UpstreamRole,
    ) : OrderAction

    /** Ends the intake of new work; running work goes on. */
    @Serializable
    @SerialName("drain")
    public data object Drain : OrderAction

    /** Opens the intake again after a drain. */
    @Serializable
    @SerialName("resume")
    public data object Resume : OrderAction
}
