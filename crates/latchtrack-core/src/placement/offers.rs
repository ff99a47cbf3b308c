//! Offers: machines that may be provisioned for a job.

use crate::job::JobSpec;
use crate::machine::MachineType;

/// Whether a job allows spot or on-demand machines of this type and zone.
pub fn is_allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_deref().is_none_or(|only| only == zone)
        && spec.types.as_ref().is_none_or(|types| types.iter().any(|name| name == machine_type))
}

/// A kind of machine that may be provisioned: its type, its zone, and whether it is spot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// The name of the machine type.
    pub machine_type: String,
    /// The zone in which it is provisioned.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may preempt.
    pub spot: bool,
}

/// Returns the offers that suit a job, best first: spot before on-demand if the job allows spot,
/// then the smallest type that fits one task, then by zone. `zone_rotation` is the index of the
/// first zone, which varies so that machines spread over the zones.
pub fn offers(spec: &JobSpec, types: &[MachineType], zone_rotation: usize) -> Vec<Offer> {
    let mut fitting: Vec<&MachineType> =
        types.iter().filter(|machine_type| machine_type.fitting_tasks(&spec.demand) > 0).collect();
    fitting.sort_by(|a, b| {
        let size = |t: &MachineType| (t.gpus, t.cpus, t.memory_gb);
        size(a).partial_cmp(&size(b)).unwrap_or(std::cmp::Ordering::Equal)
    });
    let mut offers = Vec::new();
    for spot in [true, false] {
        for MachineType { name, zones, .. } in &fitting {
            for index in 0..zones.len() {
                let zone = &zones[(index + zone_rotation) % zones.len()];
                if is_allowed(spec, name, zone, spot) {
                    offers.push(Offer { machine_type: name.clone(), zone: zone.clone(), spot });
                }
            }
        }
    }
    offers
}
