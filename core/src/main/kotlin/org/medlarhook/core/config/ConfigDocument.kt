package org.medlarhook.core.config

import kotlinx.serialization.Serializable
import org.medlarhook.core.directory.DirectoryEntity
import org.medlarhook.core.directory.ModelDeclaration
import org.medlarhook.core.directory.ServiceDeclaration
import org.medlarhook.core.directory.Site
import org.medlarhook.core.directory.Workspace

/** The configuration that operators declare: all objects of the directory except keys. */
@Serializable
public data class ConfigDocument(
    val workspaces: List<Workspace> = emptyList(),
    val models: List<ModelDeclaration> = emptyList(),
    val services: List<ServiceDeclaration> = emptyList(),
    val sites: List<Site> = emptyList(),
) {
    /** Returns the objects of all kinds. */
    public fun entities(): List<DirectoryEntity> = workspaces + models + services + sites
}
