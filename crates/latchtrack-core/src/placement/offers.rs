//! What the cloud may rent out.

use crate::job::JobSpec;
use crate::machine::MachineType;

/// Whether a job allows this type, zone and kind of machine.
pub fn allowed(spec: &JobSpec, kind: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_deref().is_none_or(|z| z == zone)
        && spec.types.as_ref().is_none_or(|t| t.iter().any(|t| t == kind))
}

/// Something the cloud may rent out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// What could be rented for a job, best first: spot before ordinary where the job allows it, then
/// the smallest type that fits one task, then the zone. `rotate` turns the zones so that
/// rentals spread over them.
pub fn offers(spec: &JobSpec, types: &[MachineType], zone_rotation: usize) -> Vec<Offer> {
    let mut fitting: Vec<&MachineType> =
        types.iter().filter(|t| t.holds(&spec.demand) > 0).collect();
    fitting.sort_by(|a, b| {
        let size = |t: &MachineType| (t.gpus, t.cpus, t.memory_gb);
        size(a).partial_cmp(&size(b)).unwrap_or(std::cmp::Ordering::Equal)
    });
    let mut out = Vec::new();
    for spot in [true, false] {
        for t in &fitting {
            let n = t.zones.len();
            for i in 0..n {
                let zone = &t.zones[(i + zone_rotation) % n];
                if allowed(spec, &t.name, zone, spot) {
                    out.push(Offer { kind: t.name.clone(), zone: zone.clone(), spot });
                }
            }
        }
    }
    out
}
