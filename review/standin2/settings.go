package main

// The reset key of the QUIC frontend, which the room servers share.
const resetKeyText = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

// Settings of the QUIC frontend that clients and room servers need.
const (
	configID    = 0
	nonceLength = 8
	idLength    = 1 + 4 + nonceLength
	// idStart is the first octet of all ids that room servers issue.
	idStart = configID<<5 | (idLength - 1)
)

// armorSettings returns the settings of a balancer of the site armor-rooms in one of its zones.
func armorSettings(zone string) object {
	class := func(name string, aim, giveUp, points float64) object {
		return object{"name": name, "aim_s": aim, "give_up_s": giveUp, "repeat": "idempotent", "key_scope": "all",
			"window_s": 5.0, "points": points, "late_worth": 0.0, "streamed": true}
	}
	return siteSettings(zone, []string{"rennes", "brest", "vannes"}, 3, []object{
		class("solo-play", 0.3, 1.2, 1), class("hint-fetch", 0.5, 2, 1),
		class("team-play", 0.3, 1.2, 2), class("class-room", 0.5, 3, 2),
	}, object{"answer_slack_s": 0.008, "cold_s": 7.7, "cold_share": 0.37, "drain_grace_s": 0.5, "fall_multiple": 4.0,
		"fall_s": 1.0, "must_ask_in_s": 10.0}, 3)
}

// sfaxSettings returns the settings of a balancer of the site sfax-bennes.
func sfaxSettings(zone string) object {
	return siteSettings(zone, []string{"sakiet", "thyna"}, 2, []object{{
		"name": "job-stream", "aim_s": 0.8, "give_up_s": 3.2, "repeat": "idempotent", "key_scope": "all",
		"window_s": 5.0, "points": 1.0, "late_worth": 0.0, "streamed": true,
	}}, object{"answer_slack_s": 0.008, "cold_s": 23.0, "cold_share": 0.18, "drain_grace_s": 2.0, "fall_multiple": 4.0,
		"fall_s": 3.0, "must_ask_in_s": 10.0}, 5)
}

func siteSettings(zone string, zones []string, balancers int, classes []object, rules object, tries int) object {
	return object{
		"zone": zone, "areas": zones, "balancers": balancers, "membership_mode": "subscribe",
		"profiles": classes,
		"limits": object{"connect_timeout_s": 0.06, "max_retry_after_s": 1.5, "retry_after": true, "may_probe": true,
			"most_tries": tries, "second_copies": false},
		"rules":     rules,
		"penalties": object{"probe": 0.0018, "moves": 0.019, "cross_zone": 0.16},
		"specifics": object{"groups": true, "mode": "proxy", "message_aim_s": []float64{0.06}},
	}
}

// withEffect returns settings in which a class has another effect, and only that class.
func withEffect(settings object, class, repeat string) object {
	for _, profile := range settings["profiles"].([]object) {
		if profile["name"] == class {
			profile["repeat"] = repeat
			settings["profiles"] = []object{profile}
		}
	}
	return settings
}

// quicSettings returns the section quic of a fronts file: that of deploy/fronts.json with plaintext ids, for the first
// class of the settings.
func quicSettings(settings object, listen string) object {
	class := settings["profiles"].([]object)[0]["name"]
	return object{"listen": listen, "class": class, "config_id": configID, "nonce_length": nonceLength,
		"reset_key": resetKeyText, "idle_s": 30, "max_flows": 256}
}
