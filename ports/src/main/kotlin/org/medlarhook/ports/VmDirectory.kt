package org.medlarhook.ports

import arrow.core.Either
import kotlinx.serialization.Serializable

/** The platform's lagging list of VMs. */
public interface VmDirectory {
    /** Returns the VMs that the platform lists now. */
    public fun list(): Either<TableFailure, List<ListedVm>>
}

/** A VM as listed; [leaving] says that it will be stopped soon. */
@Serializable
public data class ListedVm(
    val vmId: String,
    val dataCentre: String,
    val leaving: Boolean,
)
