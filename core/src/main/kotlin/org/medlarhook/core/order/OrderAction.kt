package org.medlarhook.core.order

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.medlarhook.core.role.UpstreamRole

/** The action that an engine is to take. All actions are idempotent: taking one twice has the same effect as once. */
@Serializable
public sealed interface OrderAction {
    /** Loads [model] at [version] and replaces any other version of it. */
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

    /** Changes the kind of work that the engine accepts. */
    @Serializable
    @SerialName("set-role")
    public data class SetRole(
        val role: UpstreamRole,
    ) : OrderAction

    /** Stops accepting new work; running work continues. */
    @Serializable
    @SerialName("drain")
    public data object Drain : OrderAction

    /** Accepts new work again after a drain. */
    @Serializable
    @SerialName("resume")
    public data object Resume : OrderAction
}
