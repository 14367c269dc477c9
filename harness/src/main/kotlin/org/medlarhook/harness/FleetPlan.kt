package org.medlarhook.harness

/** The data centres of a test fleet, with the processes in each. */
public data class FleetPlan(
    val dataCentres: List<DataCentrePlan>,
)

/** The processes of one data centre: a number of entries, the engines, and a booking service per service name. */
public data class DataCentrePlan(
    val name: String,
    val region: String,
    val entries: Int,
    val engines: List<EnginePlan>,
    val services: List<String>,
)

/** A model engine of a test fleet, with its batch slots and speeds. */
public data class EnginePlan(
    val model: String,
    val slots: Int,
    val prefillTokensPerS: Double,
    val decodeTokensPerS: Double,
)

/** Builds a [FleetPlan]. */
public fun fleetPlan(block: FleetPlanBuilder.() -> Unit): FleetPlan = FleetPlanBuilder().apply(block).build()

/** Builder of a [FleetPlan]. */
public class FleetPlanBuilder {
    private val dataCentres = mutableListOf<DataCentrePlan>()

    /** Adds a data centre. */
    public fun dataCentre(name: String, region: String, block: DataCentrePlanBuilder.() -> Unit) {
        dataCentres += DataCentrePlanBuilder(name, region).apply(block).build()
    }

    internal fun build() = FleetPlan(dataCentres.toList())
}

/** Builder of a [DataCentrePlan]. */
public class DataCentrePlanBuilder(
    private val name: String,
    private val region: String,
) {
    private var entries = 0
    private val engines = mutableListOf<EnginePlan>()
    private val services = mutableListOf<String>()

    /** Adds [count] entries. */
    public fun entries(count: Int) {
        entries += count
    }

    /** Adds [count] engines that serve [model]. */
    public fun engines(
        model: String,
        count: Int = 1,
        slots: Int = DEFAULT_SLOTS,
        prefillTokensPerS: Double = DEFAULT_PREFILL_TOKENS_PER_S,
        decodeTokensPerS: Double = DEFAULT_DECODE_TOKENS_PER_S,
    ) {
        repeat(count) { engines += EnginePlan(model, slots, prefillTokensPerS, decodeTokensPerS) }
    }

    /** Adds a booking service that serves the service name [service]. */
    public fun service(service: String) {
        services += service
    }

    /** Adds [count] booking services that serve the service name [service]. */
    public fun services(service: String, count: Int) {
        repeat(count) { service(service) }
    }

    internal fun build() = DataCentrePlan(name, region, entries, engines.toList(), services.toList())

    private companion object {
        const val DEFAULT_SLOTS = 16
        const val DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
        const val DEFAULT_DECODE_TOKENS_PER_S = 100.0
    }
}
